/**
 * `completion`: a completion script, made from the table of commands.
 */
import * as commands from '../command.js'
import * as failures from '../../contracts/failure.js'
import * as options from '../common_option.js'

function listOptions (command: commands.Command): string {
  return [...command.options ?? [], ...options.commonOptions].map(({ name }) => `--${name}`).join(' ')
}

/** Returns what may follow the first word: the second words of its commands, or the options of a single one. */
function listSeconds (table: readonly commands.Command[]): ReadonlyMap<string, string> {
  const seconds = new Map<string, string>()
  for (const command of table) {
    const [first = '', second] = command.path
    const earlier = seconds.get(first)
    const added = second ?? listOptions(command)
    seconds.set(first, earlier === undefined ? added : `${earlier} ${added}`)
  }
  return seconds
}

function createCases (entries: Iterable<readonly [string, string]>): string {
  return [...entries].map(([word, words]) => `    "${word}") words="${words}" ;;`).join('\n')
}

/** Returns a script for bash that completes the words and options of the commands. */
export function createBashScript (table: readonly commands.Command[]): string {
  const seconds = listSeconds(table)
  const full = table.filter(({ path }) => path.length > 1).map(command => [command.path.join(' '), listOptions(command)] as const)
  return `_mulberryflow () {
  local current="\${COMP_WORDS[COMP_CWORD]}" words="${[...seconds.keys()].join(' ')}"
  if [ "$COMP_CWORD" -gt 1 ]; then
    words=""
    case "\${COMP_WORDS[1]}" in
${createCases(seconds)}
    esac
  fi
  if [ "$COMP_CWORD" -gt 2 ]; then
    case "\${COMP_WORDS[1]} \${COMP_WORDS[2]}" in
${createCases(full)}
    esac
  fi
  COMPREPLY=($(compgen -W "$words" -- "$current"))
}
complete -F _mulberryflow mulberryflow`
}

/** Creates the command; the table that it completes includes the command itself. */
export function createCompletionCommand (getTable: () => readonly commands.Command[]): commands.Command {
  return {
    path: ['completion'],
    summary: 'Print a completion script for bash',
    run: async () => {
      const script = createBashScript(getTable())
      return failures.succeed({ json: { script }, text: script })
    }
  }
}
