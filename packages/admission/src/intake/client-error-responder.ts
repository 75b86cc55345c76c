import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import type {ConnectionGuard} from './connection-guard.js';

/** Status line of the answer to what is no request. */
export enum ClientErrorStatus {
	BadRequest = '400 Bad Request',
	Timeout = '408 Request Timeout',
	HeaderTooLong = '431 Request Header Fields Too Large',
}

/** Status by error code, for errors of the HTTP parser and of the server's timeout check; any other error is a bad request. */
const STATUSES: Readonly<Record<string, ClientErrorStatus>> = {
	HPE_HEADER_OVERFLOW: ClientErrorStatus.HeaderTooLong,
	ERR_HTTP_REQUEST_TIMEOUT: ClientErrorStatus.Timeout,
};

/** How a listener answers what is no request. */
export type ClientErrorFormat = {
	/** Returns the whole answer; it has to say that the connection closes. */
	readonly format: (status: ClientErrorStatus, error: NodeJS.ErrnoException) => string;
	/** Called once for each connection. */
	readonly onError: (error: NodeJS.ErrnoException) => void;
};

/** Creates an answer without a body. */
export function formatEmptyAnswer(status: ClientErrorStatus): string {
	return `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
}

/**
 * Answers bytes that are no request, once for each connection, behind the responses to
 * whole requests before them. What follows is read and dropped within the bounds of the
 * guard, as a reset would lose the answer.
 */
export function answerClientErrors(server: Server, guard: ConnectionGuard, {format, onError}: ClientErrorFormat): void {
	const failed = new WeakSet<Socket>();
	server.on('clientError', (error: NodeJS.ErrnoException, stream) => {
		const socket = stream as Socket;
		// The parser fails again at each read that follows.
		if (failed.has(socket)) {
			return;
		}

		failed.add(socket);
		onError(error);
		guard.whenAnswered(socket, () => {
			if (error.code === 'ECONNRESET' || !socket.writable) {
				socket.destroy();
				return;
			}

			guard.linger(socket);
			socket.end(format(STATUSES[error.code ?? ''] ?? ClientErrorStatus.BadRequest, error));
		});
	});
}
