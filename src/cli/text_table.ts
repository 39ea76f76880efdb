/**
 * Tables for people.
 */

export type Cell = string | number | boolean | undefined

const gap = '  '

/** Returns the rows below their headings, columns aligned; numbers to the right. */
export function formatTable (headings: readonly string[], rows: readonly (readonly Cell[])[]): string {
  if (rows.length === 0) {
    return '(none)'
  }
  const widths = headings.map((heading, column) =>
    Math.max(heading.length, ...rows.map(row => formatCell(row[column]).length)))
  const lines = [headings.map((heading, column) => heading.padEnd(widths[column] ?? 0)).join(gap)]
  for (const row of rows) {
    lines.push(headings.map((_, column) => align(row[column], widths[column] ?? 0)).join(gap))
  }
  return lines.map(line => line.trimEnd()).join('\n')
}

function align (cell: Cell, width: number): string {
  const text = formatCell(cell)
  return typeof cell === 'number' ? text.padStart(width) : text.padEnd(width)
}

function formatCell (cell: Cell): string {
  return cell === undefined ? '' : String(cell)
}
