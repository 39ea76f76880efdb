/**
 * Exit codes of the operators' tool.
 */
import * as diagnosticTable from '../contracts/diagnostics.js'
import * as exitCodeContracts from '../contracts/exit_code.js'
import * as failures from '../contracts/failure.js'

export const exitCodes = {
  done: { code: 0, meaning: 'Done.' },
  defect: { code: 1, meaning: 'A defect of the program.' },
  usage: { code: 2, meaning: 'The command line is not valid.' },
  refused: { code: 3, meaning: 'Refused; the mistakes are listed.' },
  forbidden: { code: 4, meaning: 'The credential is not known, or may not do this.' },
  stale: { code: 5, meaning: 'Others have changed the section meanwhile.' },
  unknown: { code: 6, meaning: 'What was named does not exist.' },
  unavailable: { code: 7, meaning: 'The administration API or a gateway cannot be reached, or cannot work now; nothing was changed.' },
  uncertain: { code: 8, meaning: 'The outcome is unknown; the same command with the same --operation settles it.' },
  settings: { code: 9, meaning: 'The settings file is not valid.' }
} as const satisfies Record<string, exitCodeContracts.ExitCode>

/** Returns the exit code for a failure. */
export function getExitCode (failure: failures.Failure): number {
  if (failure.code === 'settings_invalid' || failure.code === 'settings_unreadable') {
    return exitCodes.settings.code
  }
  if (failure.code === 'command_invalid') {
    return exitCodes.usage.code
  }
  if (failure.verdict === 'may_have_run') {
    return exitCodes.uncertain.code
  }
  if (failure.code === 'version_stale') {
    return exitCodes.stale.code
  }
  const { status } = diagnosticTable.diagnostics[failure.code]
  switch (status) {
    case 401:
    case 403:
      return exitCodes.forbidden.code
    case 404:
      return exitCodes.unknown.code
    default:
      return status >= 500 ? exitCodes.unavailable.code : exitCodes.refused.code
  }
}
