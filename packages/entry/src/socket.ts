import type {Socket} from 'node:net';

/**
 * Resets a connection at once: what has not been sent is dropped, and the other
 * side cannot take what it has for the whole. Node's own reset sends everything
 * first, and leaves the handle open when the socket is destroyed meanwhile.
 */
export function resetSocket(socket: Socket): void {
	if (socket.destroyed || socket.connecting || socket.writableEnded) {
		socket.destroy();
		return;
	}

	socket.destroySoon = () => {
		socket.destroy();
	};

	socket.resetAndDestroy();
}
