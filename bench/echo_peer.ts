/**
 * Sends back what arrives on a TCP connection, in a process of its own. Tells its parent the port.
 */
import * as net from 'node:net'

const server = net.createServer({ noDelay: true }, socket => {
  socket.on('data', data => socket.write(data))
  socket.on('error', () => socket.destroy())
})
server.listen(0, '127.0.0.1', () => process.send?.((server.address() as net.AddressInfo).port))
process.on('disconnect', () => process.exit(0))
