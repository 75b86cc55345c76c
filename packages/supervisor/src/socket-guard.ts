import type {Socket} from 'node:net';

/** Receives an exception that a listener of a socket has thrown. */
export type ExceptionListener = (error: Error) => void;

/**
 * Makes a socket report its end only to a reader that asks for more bytes; Node
 * reports it as soon as the last ones are read. The parser of undici cannot be told
 * of an end while it is paused, and it asks for bytes only when it is not.
 */
export function deferEnd(socket: Socket): void {
	const push = socket.push.bind(socket);
	const read = socket.read.bind(socket) as (size?: number) => unknown;
	let hasEnded = false;
	socket.push = (chunk, encoding) => {
		hasEnded ||= chunk === null;
		return push(chunk, encoding);
	};

	socket.read = size => {
		if (!hasEnded) {
			return read(size);
		}

		// A read of exactly what is there does not report the end; Node itself reads nothing in order to report it.
		return size === 0 ? null : read(size ?? (socket.readableLength || undefined));
	};
}

/** Catches what the listeners of a socket throw, also those of undici; otherwise it ends the process. */
export function guardEvents(socket: Socket, onException: ExceptionListener): void {
	const emit = socket.emit.bind(socket) as (event: string | symbol, ...args: unknown[]) => boolean;
	socket.emit = (event: string | symbol, ...args: unknown[]) => {
		try {
			return emit(event, ...(event === 'error' ? args.map(error => hideResetCode(error)) : args));
		} catch (error) {
			onException(error as Error);
			return true;
		}
	};
}

/** Hides that an error is a reset: undici takes it for a regular end on a connection without keep-alive, which a paused parser cannot be told of. */
function hideResetCode(error: unknown): unknown {
	return error instanceof Error && 'code' in error && error.code === 'ECONNRESET' ? new Error(error.message, {cause: error}) : error;
}
