import {createSocket, type Socket} from 'node:dgram';
import type {Buffer} from 'node:buffer';
import type {Log, Metrics} from '@apricotwood/telemetry';

/** Source or destination of a datagram. */
export type Address = {
	readonly ip: string;
	readonly port: number;
};

/** Unreliable transport between hosts: datagrams may be lost, duplicated or delayed. */
export interface DatagramChannel {
	/** Binds to the local address and starts receiving. Resolves once the address is bound. @throws if it cannot be bound. */
	open(localAddress: Address, onMessage: (bytes: Buffer, from: Address) => void): Promise<void>;
	send(bytes: Buffer, to: Address): void;
	close(): void;
}

/** Datagram channel over UDP. Socket errors are logged, failed sends only counted. */
export class UdpChannel implements DatagramChannel {
	#socket: Socket | undefined;

	constructor(private readonly log: Log, private readonly metrics: Metrics) {}

	async open({ip, port}: Address, onMessage: (bytes: Buffer, from: Address) => void): Promise<void> {
		const socket = createSocket('udp4');
		this.#socket = socket;
		socket.on('message', (bytes, from) => {
			onMessage(bytes, {ip: from.address, port: from.port});
		});
		socket.on('error', error => {
			this.log.warn({event: 'beat-error', message: error.message});
		});
		await new Promise<void>((resolve, reject) => {
			const fail = (error: Error) => {
				this.close();
				reject(error);
			};

			socket.once('error', fail);
			socket.bind(port, ip, () => {
				socket.off('error', fail);
				resolve();
			});
		});
	}

	send(bytes: Buffer, {ip, port}: Address): void {
		this.metrics.count('beats.sent');
		this.metrics.count('beats.bytes', bytes.length);
		try {
			this.#socket?.send(bytes, port, ip, error => {
				this.#countUnsent(error);
			});
		} catch (error) {
			// An address that no datagram can be sent to.
			this.#countUnsent(error as Error);
		}
	}

	#countUnsent(error: Error | null): void {
		if (error) {
			this.metrics.count('beats.unsent');
		}
	}

	close(): void {
		this.#socket?.close();
		this.#socket = undefined;
	}
}
