/**
 * The configuration document of a process as those who change it see it.
 */
import * as configuration from '../contracts/configuration.js'
import * as documents from './document.js'
import * as failures from '../contracts/failure.js'

/** The document of this process, which the editor checks against. */
export abstract class CurrentDocument {
  abstract readonly document: documents.Document
  /** Brings the document to the version or a later one. */
  abstract reach (version: number): Promise<failures.Result<void>>
  /** Takes a change that was just accepted, and passes it on. */
  abstract publish (change: configuration.Change): void
}
