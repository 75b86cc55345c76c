import {buildConnector} from 'undici';

/** Timeout for opening a connection to a worker, ms. */
const CONNECT_TIMEOUT_MS = 400;
/** Idle time after which TCP keep-alive probes start, ms. */
const TCP_KEEP_ALIVE_DELAY_MS = 1000;

/** Opens TCP connections to workers, and ends the attempt after a time limit. */
export type Connector = buildConnector.connector;

/** Result of an attempt to open a connection. */
export enum ProbeResult {
	Accepted = 'accepted',
	/** The address has no listener: the process has ended, or the path to it is cut by a reset. */
	Refused = 'refused',
	/** There was no response, or another error. */
	NoResponse = 'no-response',
}

/** Creates the connector of a host. */
export function createTcpConnector(): Connector {
	return buildConnector({
		timeout: CONNECT_TIMEOUT_MS, keepAlive: true, keepAliveInitialDelay: TCP_KEEP_ALIVE_DELAY_MS, allowH2: false, allowHalfOpen: true,
	});
}

/** Opens a connection and closes it again. @param address `IP:port`. */
export async function probe(connector: Connector, address: string): Promise<ProbeResult> {
	const [hostname, port] = address.split(':') as [string, string];
	return new Promise(resolve => {
		try {
			connector({hostname, port, protocol: 'http:'}, (error, socket) => {
				socket?.destroy();
				if (error) {
					resolve('code' in error && error.code === 'ECONNREFUSED' ? ProbeResult.Refused : ProbeResult.NoResponse);
				} else {
					resolve(ProbeResult.Accepted);
				}
			});
		} catch {
			// An address that no connection can be opened to.
			resolve(ProbeResult.NoResponse);
		}
	});
}
