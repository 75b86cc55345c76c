import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import {readPendingInput} from '@apricotwood/clock';
import type {ConnectionGuard} from './connection-guard.js';

/** Status line of the answer to what is no request. */
export enum ClientErrorStatus {
	BadRequest = '400 Bad Request',
	Timeout = '408 Request Timeout',
	HeaderTooLong = '431 Request Header Fields Too Large',
}

/** Error code of the server's check of how long a request takes to arrive. */
const TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';
/** Status by error code, for errors of the HTTP parser and of the server's timeout check; any other error is a bad request. */
const STATUSES: Readonly<Record<string, ClientErrorStatus>> = {
	HPE_HEADER_OVERFLOW: ClientErrorStatus.HeaderTooLong,
	[TIMEOUT_CODE]: ClientErrorStatus.Timeout,
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
		void answer(socket, error);
	});

	const answer = async (socket: Socket, error: NodeJS.ErrnoException) => {
		if (error.code === TIMEOUT_CODE && await hasRequestArrived(socket, guard)) {
			failed.delete(socket);
			return;
		}

		onError(error);
		guard.whenAnswered(socket, () => {
			if (error.code === 'ECONNRESET' || !socket.writable) {
				socket.destroy();
				return;
			}

			guard.end(socket);
			socket.end(format(STATUSES[error.code ?? ''] ?? ClientErrorStatus.BadRequest, error));
		});
	};
}

/** Whether a request had arrived in time that this process, which lags or has stood still, reads only after its timeout. */
async function hasRequestArrived(socket: Socket, guard: ConnectionGuard): Promise<boolean> {
	const lastReq = guard.findLastRequest(socket);
	await readPendingInput();
	return guard.findLastRequest(socket) !== lastReq;
}
