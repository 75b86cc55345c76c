import {deferEnd, guardEvents, type ExceptionListener} from '@apricotwood/supervisor';
import {buildConnector} from 'undici';

/** Opens connections that may end while a response on them is paused, and on which an exception of a listener ends nothing but the connection. */
export function createGuardedConnector(timeoutMs: number, onException: ExceptionListener): buildConnector.connector {
	const connector = buildConnector({timeout: timeoutMs});
	return (options, callback) => {
		connector(options, (...args) => {
			const [, socket] = args;
			if (socket) {
				deferEnd(socket);
				guardEvents(socket, error => {
					onException(error);
					socket.destroy(error);
				});
			}

			callback(...args);
		});
	};
}
