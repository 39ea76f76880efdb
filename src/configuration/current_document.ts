/**
 * The configuration document of a process, as seen by the code that changes it.
 */
import * as configuration from '../contracts/configuration.js'
import * as documents from './document.js'
import * as failures from '../contracts/failure.js'

/** The document of this process, against which the editor checks changes. */
export abstract class CurrentDocument {
  abstract readonly document: documents.Document
  /** Brings the document to the version or a later one; fails if it cannot. */
  abstract catchUp (version: number): Promise<failures.Result<void>>
  /** Applies a change that was just accepted and distributes it. */
  abstract publish (change: configuration.Change): void
}
