import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';

export {resetSocket} from '@apricotwood/admission';

const NO_BYTES = Buffer.alloc(0);
/** Errors of a write to a connection that the other end has reset. */
const RESET_CODES = new Set(['ECONNRESET', 'EPIPE']);

/**
 * Whether the connection was reset; to be called from a listener of its `end`
 * event. When a reset arrives together with the last bytes, Node reports a regular
 * end. The reset then fails the next write, even one without bytes, which sends
 * nothing. The socket must have been opened with `allowHalfOpen`.
 */
export async function wasResetAtEnd(socket: Socket): Promise<boolean> {
	return new Promise(resolve => {
		socket.write(NO_BYTES, error => {
			resolve(RESET_CODES.has(error && 'code' in error ? String(error.code) : ''));
		});
	});
}
