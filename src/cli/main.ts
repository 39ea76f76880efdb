#!/usr/bin/env node
/**
 * Entry point of the operators' tool.
 */
import * as programs from './program.js'
import * as terminals from './terminal.js'

process.exitCode = await programs.run(process.argv.slice(2), new terminals.ProcessTerminal())
