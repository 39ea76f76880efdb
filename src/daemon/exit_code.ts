/**
 * Exit codes of the daemon.
 */
import * as exitCodeContracts from '../contracts/exit_code.js'

export const exitCodes = {
  drained: { code: 0, meaning: 'Shut down gracefully after SIGTERM or SIGINT.' },
  failed: { code: 1, meaning: 'The shutdown failed, the command line is not valid, or a defect.' },
  settings: { code: 2, meaning: 'The settings, or a file that they name, cannot be read or have mistakes; each is on a line of standard error.' },
  address: { code: 3, meaning: 'An address of the settings cannot be listened on; the log line `cannot start` names it.' },
  forced: { code: 4, meaning: 'A second signal came before the shutdown was done; requests may have been cut.' }
} as const satisfies Record<string, exitCodeContracts.ExitCode>
