/**
 * What a program tells by its exit code.
 */
export interface ExitCode {
  readonly code: number
  readonly meaning: string
}
