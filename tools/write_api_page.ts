/**
 * Writes docs/API.md from the table of routes.
 */
import * as fs from 'node:fs'
import * as pages from '../src/administration/api_page.js'

fs.writeFileSync('docs/API.md', pages.createApiPage())
