/**
 * A log that keeps its lines.
 */
import * as host from '../../src/host/types.js'

export interface LogLine {
  readonly message: string
  readonly fields: host.LogFields
}

export class RecordedLog extends host.Log {
  readonly lines: LogLine[] = []

  /** Returns the fields of the lines with a message, and with a request's identifier if one is given. */
  find (message: string, request?: string): host.LogFields[] {
    const found = this.lines.filter(line => line.message === message && (request === undefined || line.fields.request === request))
    return found.map(({ fields }) => fields)
  }

  override info (message: string, fields: host.LogFields = {}): void {
    this.lines.push({ message, fields })
  }

  override warn (message: string, fields: host.LogFields = {}): void {
    this.lines.push({ message, fields })
  }

  override error (message: string, fields: host.LogFields = {}): void {
    this.lines.push({ message, fields })
  }
}
