import type {Socket} from 'node:net';

/** Resets a connection at once: what has not been sent is dropped, and the other side cannot take what it has for the whole. */
export function resetSocket(socket: Socket): void {
	if (socket.destroyed || socket.connecting || socket.writableEnded) {
		// A reset of these would do nothing, or leave the handle open.
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}
