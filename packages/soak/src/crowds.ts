import {connect, type Socket} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';

/** Connections of one crowd. */
const CROWD_SIZE = 60;
const KIB = 1024;

/** What each client of a crowd sends once it is connected; none of it is a whole request for a route. */
type CrowdVariant = (socket: Socket, route: string) => void;

function createHead(route: string, framing: string): string {
	return `POST ${route} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: crowd\r\nRequest-Deadline-Ms: 20000\r\n${framing}\r\n\r\n`;
}

/** Variants of `FaultKind.Crowd`. */
export const CROWD_VARIANTS: readonly CrowdVariant[] = [
	(socket, route) => {
		socket.write(createHead(route, 'Transfer-Encoding: chunked') + '1\r\nx\r\n'.repeat(60_000));
	},
	(socket, route) => {
		socket.write(createHead(route, 'Transfer-Encoding: chunked') + `${(64 * KIB).toString(16)}\r\n${'x'.repeat(64 * KIB)}\r\n`.repeat(15));
	},
	(socket, route) => {
		socket.write(createHead(route, 'Content-Length: 2900000') + 'x'.repeat(2_899_900));
	},
	socket => {
		socket.write(`GET / HTTP/1.1\r\nX-Long: ${'x'.repeat(250_000)}`);
	},
	socket => {
		socket.write('\r\n'.repeat(512 * KIB));
	},
	socket => {
		socket.write('G');
	},
	socket => {
		socket.pause();
		socket.write('GET /nothing HTTP/1.1\r\nHost: a.example\r\n\r\n'.repeat(2000));
	},
];

/** Opens a crowd of clients that do not behave, and closes what is left of it after a time. @param address `IP:port`. */
export async function openCrowd(address: string, route: string, variant: CrowdVariant, forMs: number): Promise<void> {
	const [host, port] = address.split(':');
	const sockets = Array.from({length: CROWD_SIZE}, () => {
		const socket = connect({host: host!, port: Number(port)});
		socket.on('error', () => {
			// The host may refuse it, close it or be gone.
		});
		socket.once('connect', () => {
			variant(socket, route);
		});
		return socket;
	});
	await pause(forMs);
	for (const socket of sockets) {
		socket.destroy();
	}
}
