import type {Buffer} from 'node:buffer';
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {resetSocket, wasResetAtEnd} from '@apricotwood/entry';

/** How a link treats data and connections. */
export enum LinkState {
	/** Forwards data immediately. */
	Healthy = 'well',
	/** Forwards data and ends of stream after `DELAY_MS`. */
	Delayed = 'delayed',
	/** Resets open and new connections. */
	Reset = 'reset',
	/** Refuses new connections; open ones are forwarded. */
	Refusing = 'refusing',
	/** Discards data in both directions; connections stay open. */
	Silent = 'silent',
	/** Forwards data to the target and discards data from it. */
	OneWay = 'one-way',
}

/** Delay of forwarded data in state `Delayed`, ms. */
const DELAY_MS = 120;

type ProxiedConnection = {
	readonly downstream: Socket;
	readonly upstream: Socket;
	/** Whether data was discarded; nothing more is forwarded then. */
	hasLostData: boolean;
};

/** TCP proxy on the loopback interface that injects network faults between clients and one address; it connects from its own address, which tells the links apart. Connections that have lost data are reset when the link becomes healthy again, since TCP does not continue after a gap. */
export class Link {
	readonly #connections = new Set<ProxiedConnection>();
	readonly #server: Server = createServer({allowHalfOpen: true}, downstream => {
		this.#accept(downstream);
	});

	#state = LinkState.Healthy;
	#ip = '';
	#port = 0;
	/** Faults that have not ended, in the order of their start. */
	#faults: Array<{readonly state: LinkState}> = [];

	/** @param getTarget returns the `IP:port` to connect to; called for each connection. */
	constructor(private readonly getTarget: () => string) {}

	get port(): number {
		return this.#port;
	}

	/** `IP:port` that clients connect to. */
	get address(): string {
		return `${this.#ip}:${this.#port}`;
	}

	/** Starts a fault. Of overlapping ones, `Refusing` prevails, else the last. @returns a function that ends it. */
	startFault(state: LinkState): () => void {
		const fault = {state};
		this.#faults.push(fault);
		this.#applyFaults();
		return () => {
			this.#faults = this.#faults.filter(other => other !== fault);
			this.#applyFaults();
		};
	}

	#applyFaults(): void {
		const isRefusing = this.#faults.some(({state}) => state === LinkState.Refusing);
		this.setState(isRefusing ? LinkState.Refusing : this.#faults.at(-1)?.state ?? LinkState.Healthy);
	}

	/** Ends all faults. */
	clearFaults(): void {
		this.#faults = [];
		this.setState(LinkState.Healthy);
	}

	setState(state: LinkState): void {
		this.#state = state;
		if (state === LinkState.Refusing) {
			this.#server.close();
		} else if (!this.#server.listening) {
			this.#server.listen(this.#port, this.#ip);
		}

		if (state === LinkState.Reset) {
			this.resetConnections();
		} else if (state === LinkState.Healthy) {
			this.#resetMatching(({hasLostData}) => hasLostData);
		}
	}

	/** @param port port to listen on; 0 for a free one. */
	async start(ip = '127.0.0.1', port = 0): Promise<this> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, ip, resolve);
		});
		this.#ip = ip;
		this.#port = (this.#server.address() as AddressInfo).port;
		return this;
	}

	async stop(): Promise<void> {
		this.resetConnections();
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	/** Resets all open connections. */
	resetConnections(): void {
		this.#resetMatching(() => true);
	}

	#resetMatching(matches: (connection: ProxiedConnection) => boolean): void {
		for (const connection of this.#connections) {
			if (matches(connection)) {
				this.#connections.delete(connection);
				resetSocket(connection.downstream);
				resetSocket(connection.upstream);
			}
		}
	}

	#accept(downstream: Socket): void {
		if (this.#state === LinkState.Reset) {
			resetSocket(downstream);
			return;
		}

		const [ip, port] = this.getTarget().split(':');
		const upstream = connect({
			host: ip!, port: Number(port), localAddress: this.#ip, allowHalfOpen: true,
		});
		const connection = {downstream, upstream, hasLostData: false};
		this.#connections.add(connection);
		const close = (isError: boolean) => {
			this.#connections.delete(connection);
			for (const socket of [downstream, upstream]) {
				if (isError) {
					resetSocket(socket);
				} else {
					socket.destroy();
				}
			}
		};

		this.#forward(downstream, upstream, connection, () => this.#state !== LinkState.Silent, close);
		this.#forward(upstream, downstream, connection, () => this.#state !== LinkState.Silent && this.#state !== LinkState.OneWay, close);
		for (const socket of [downstream, upstream]) {
			socket.on('error', () => {
				close(true);
			});
			socket.on('close', isError => {
				close(isError);
			});
		}
	}

	#forward(from: Socket, to: Socket, connection: ProxiedConnection, isForwarding: () => boolean, close: (isError: boolean) => void): void {
		// Delayed data is forwarded before later data, also after the link has become healthy again.
		let pending: Promise<void> = Promise.resolve();
		let pendingCount = 0;
		const enqueue = (action: () => void) => {
			if (this.#state !== LinkState.Delayed && pendingCount === 0) {
				action();
				return;
			}

			pendingCount++;
			const delay = new Promise<void>(resolve => {
				setTimeout(resolve, this.#state === LinkState.Delayed ? DELAY_MS : 0);
			});
			pending = Promise.all([pending, delay]).then(() => {
				pendingCount--;
				action();
			});
		};

		from.on('data', (chunk: Buffer) => {
			connection.hasLostData ||= !isForwarding();
			if (!connection.hasLostData) {
				enqueue(() => {
					if (to.writable) {
						to.write(chunk);
					}
				});
			}
		});
		from.on('end', () => {
			void wasResetAtEnd(from).then(wasReset => {
				if (wasReset) {
					close(true);
					return;
				}

				enqueue(() => {
					to.end();
				});
			});
		});
	}
}
