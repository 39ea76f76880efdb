/**
 * Schemas of lists and dictionaries from outside the process. Their validation ends with the first element that does not match: the report of
 * an error for each of many elements takes seconds, and more memory than a process has.
 */
import * as z from 'zod'

export function list<Schema extends z.ZodType> (element: Schema) {
  return z.array(z.unknown()).transform((values, context): z.output<Schema>[] => {
    const elements: z.output<Schema>[] = []
    for (const [index, value] of values.entries()) {
      const parsed = element.safeParse(value)
      if (!parsed.success) {
        context.issues.push(createIssue(index, parsed.error))
        return z.NEVER
      }
      elements.push(parsed.data)
    }
    return elements
  })
}

export function dictionary<Schema extends z.ZodType> (element: Schema) {
  return z.record(z.string(), z.unknown()).transform((values, context): Record<string, z.output<Schema>> => {
    const elements: Record<string, z.output<Schema>> = {}
    for (const [name, value] of Object.entries(values)) {
      // Assigned, it would replace the prototype.
      if (name === '__proto__') {
        continue
      }
      const parsed = element.safeParse(value)
      if (!parsed.success) {
        context.issues.push(createIssue(name, parsed.error))
        return z.NEVER
      }
      elements[name] = parsed.data
    }
    return elements
  })
}

function createIssue (key: string | number, error: z.ZodError): z.core.$ZodRawIssue {
  const [first] = error.issues
  return { code: 'custom', message: first?.message ?? 'Invalid input', path: [key, ...first?.path ?? []], input: undefined }
}
