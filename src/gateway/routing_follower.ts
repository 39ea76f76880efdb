/**
 * Puts each version of the routing document into force as it arrives. A version is never replaced by an older one.
 */
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as replicas from './store_replica.js'
import * as tables from './routing_table.js'
import * as types from './types.js'

/** Limit on the text of faults in the log, in characters. */
const loggedFaultsLength = 1_000

export class RoutingFollower extends replicas.ReplicaObserver {
  private version = -Infinity

  constructor (
    private readonly documents: types.StoredDocuments,
    private readonly system: host.System,
    private readonly enforce: (table: tables.RoutingTable) => void
  ) {
    super()
  }

  override put (item: replicas.ReplicaItem): void {
    if (item.key !== this.documents.routingKey) {
      return
    }
    const read = this.documents.readRouting(item.value)
    if (read.isLeft()) {
      this.system.log.error('cannot parse the routing document', { revision: item.revision, reason: (read.extract() as failures.Failure).message })
      return
    }
    const document = read.unsafeCoerce()
    if (document.version < this.version) {
      this.system.log.warn('ignored a routing document older than the one in force', { version: document.version, inForce: this.version })
      return
    }
    if (document.faults !== undefined && document.version !== this.version) {
      this.system.log.warn('figures of the routing document ignored', { version: document.version, faults: document.faults.join('; ').slice(0, loggedFaultsLength) })
    }
    this.version = document.version
    this.enforce(new tables.RoutingTable(document))
    this.system.log.info('configuration in force', {
      version: document.version, revision: item.revision, routes: document.routes.length, workspaces: document.workspaces?.length
    })
  }

  override removed (): void {}
  override updated (): void {}
}
