/**
 * Writes docs/COMMANDS.md from the table of commands.
 */
import * as fs from 'node:fs'
import * as pages from '../src/cli/command_page.js'

fs.writeFileSync('docs/COMMANDS.md', pages.createCommandPage())
