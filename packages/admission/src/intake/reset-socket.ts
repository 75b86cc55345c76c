import type {Socket} from 'node:net';

/**
 * Resets a connection immediately: unsent bytes are dropped, and the other end
 * sees an error instead of a regular end, so it cannot take a partial message for
 * a complete one. A socket that is still connecting or already ending is only
 * destroyed; the other end of an ending socket may have seen a regular end.
 */
export function resetSocket(socket: Socket): void {
	if (!socket.destroyed && !socket.connecting && !socket.writableEnded) {
		// `resetAndDestroy` sets this flag too, but first sends what is buffered and ends the connection regularly.
		(socket as Socket & {resetAndClosing?: boolean}).resetAndClosing = true;
	}

	socket.destroy();
}
