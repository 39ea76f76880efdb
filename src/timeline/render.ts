/**
 * Pictures of a time line: text for the terminal and a page of HTML.
 */
import * as events from '../contracts/events.js'
import * as merge from './merge.js'

const laneWidth = 14
const kindWidth = 24

/** Draws one column per process and one line per event, causes above effects. */
export function renderTimeline (list: readonly events.Event[]): string {
  const ordered = merge.mergeEvents([list])
  if (ordered.length === 0) {
    return 'No events.\n'
  }
  const nodes = listNodes(ordered)
  const start = getEarliestMs(ordered)
  const lines = [createHeading(nodes)]
  for (const event of ordered) {
    lines.push(createLine(event, nodes, start))
  }
  return lines.join('\n') + '\n'
}

/** Draws the time line as a page of HTML that needs nothing else. */
export function renderTimelineHtml (list: readonly events.Event[]): string {
  const ordered = merge.mergeEvents([list])
  const nodes = listNodes(ordered)
  const start = getEarliestMs(ordered)
  const headings = nodes.map(node => `<th>${escapeHtml(node)}</th>`).join('')
  const rows = ordered.map(event => createRow(event, nodes, start)).join('\n')
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>mulberryflow time line</title>
<style>
body { font: 13px/1.5 system-ui, sans-serif; margin: 2em; color: #222 }
table { border-collapse: collapse }
th, td { padding: 2px 10px; border-left: 1px solid #ddd; text-align: left; white-space: nowrap }
th { position: sticky; top: 0; background: #fff; border-bottom: 2px solid #888 }
td.time { color: #777; text-align: right; border: 0 }
td.event { background: #eef3fb; border-radius: 4px }
td.failed { background: #fbeaea }
</style>
</head>
<body>
<h1>Time line</h1>
<table>
<thead><tr><th>ms</th>${headings}<th>request</th><th>details</th></tr></thead>
<tbody>
${rows}
</tbody>
</table>
</body>
</html>
`
}

function createHeading (nodes: readonly string[]): string {
  const lanes = nodes.map(node => fit(node, laneWidth)).join(' ')
  return `${'ms'.padStart(9)}  ${lanes} ${fit('event', kindWidth)} details`
}

function createLine (event: events.Event, nodes: readonly string[], startMs: number): string {
  const lanes = nodes.map(node => fit(node === event.node ? '●' : '│', laneWidth)).join(' ')
  const time = formatMs(event.wallMs - startMs).padStart(9)
  return `${time}  ${lanes} ${fit(event.kind, kindWidth)} ${formatDetails(event)}`.trimEnd()
}

function createRow (event: events.Event, nodes: readonly string[], startMs: number): string {
  const style = isFailure(event) ? 'event failed' : 'event'
  const lanes = nodes
    .map(node => node === event.node ? `<td class="${style}">${escapeHtml(event.kind)}</td>` : '<td></td>')
    .join('')
  const time = formatMs(event.wallMs - startMs)
  const request = escapeHtml(event.request ?? '')
  const details = escapeHtml(formatDetails(event))
  return `<tr><td class="time">${time}</td>${lanes}<td>${request}</td><td>${details}</td></tr>`
}

function isFailure (event: events.Event): boolean {
  return /\.(refused|failed|abandoned|lost|silent|lapsed)$/.test(event.kind)
}

function formatDetails (event: events.Event): string {
  const parts: string[] = []
  if (event.attempt !== undefined) {
    parts.push(`attempt=${event.attempt.slice(0, 8)}`)
  }
  if (event.workspace !== undefined) {
    parts.push(`workspace=${event.workspace}`)
  }
  for (const [name, value] of Object.entries(event.details ?? {})) {
    parts.push(`${name}=${value}`)
  }
  return parts.join(' ')
}

function listNodes (ordered: readonly events.Event[]): string[] {
  return [...new Set(ordered.map(event => event.node))]
}

function getEarliestMs (ordered: readonly events.Event[]): number {
  let earliest = Number.POSITIVE_INFINITY
  for (const event of ordered) {
    earliest = Math.min(earliest, event.wallMs)
  }
  return earliest
}

function formatMs (value: number): string {
  return value.toFixed(1)
}

function fit (text: string, width: number): string {
  return text.length > width ? `${text.slice(0, width - 1)}…` : text.padEnd(width)
}

function escapeHtml (text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;')
}
