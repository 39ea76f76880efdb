/**
 * Writes the tables of docs/OPERATING.md anew.
 */
import * as fs from 'node:fs'
import * as pages from './operating_page.js'

const file = 'docs/OPERATING.md'
fs.writeFileSync(file, pages.updatePage(fs.readFileSync(file, 'utf8')))
