import type {Buffer} from 'node:buffer';
import {connect, createServer, type AddressInfo, type Server, type Socket} from 'node:net';

/** What a link does with what passes over it. */
export enum LinkState {
	Well = 'well',
	/** Everything comes late. */
	Delayed = 'delayed',
	/** Connections are reset, new ones too. */
	Reset = 'reset',
	/** Nothing passes, in either direction; connections stay open. */
	Silent = 'silent',
	/** Requests pass, answers do not. */
	OneWay = 'one-way',
}

const DELAY_MS = 120;

type Pair = {
	readonly near: Socket;
	readonly far: Socket;
};

/** A loopback link to one address, whose faults are set from outside. What is held back while it is silent is lost. */
export class Link {
	readonly #pairs = new Set<Pair>();
	readonly #server: Server = createServer({allowHalfOpen: true}, near => {
		this.#carry(near);
	});

	#state = LinkState.Well;

	/** @param target `IP:port`, asked for at each connection. */
	constructor(private readonly target: () => string) {}

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	setState(state: LinkState): void {
		this.#state = state;
		if (state === LinkState.Reset) {
			this.#resetAll();
		}
	}

	async start(): Promise<this> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		return this;
	}

	async stop(): Promise<void> {
		this.#resetAll();
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	#resetAll(): void {
		for (const {near, far} of this.#pairs) {
			near.resetAndDestroy();
			far.resetAndDestroy();
		}

		this.#pairs.clear();
	}

	#carry(near: Socket): void {
		if (this.#state === LinkState.Reset) {
			near.resetAndDestroy();
			return;
		}

		const [ip, port] = this.target().split(':');
		const far = connect({host: ip!, port: Number(port), allowHalfOpen: true});
		const pair = {near, far};
		this.#pairs.add(pair);
		this.#pass(near, far, () => this.#state !== LinkState.Silent);
		this.#pass(far, near, () => this.#state !== LinkState.Silent && this.#state !== LinkState.OneWay);
		const end = (error: boolean) => {
			this.#pairs.delete(pair);
			for (const socket of [near, far]) {
				if (error) {
					socket.resetAndDestroy();
				} else {
					socket.destroy();
				}
			}
		};

		for (const socket of [near, far]) {
			socket.on('error', () => {
				end(true);
			});
			socket.on('close', isError => {
				end(isError);
			});
		}
	}

	#pass(from: Socket, to: Socket, isOpen: () => boolean): void {
		const later = (run: () => void) => {
			if (this.#state === LinkState.Delayed) {
				setTimeout(run, DELAY_MS);
			} else {
				run();
			}
		};

		from.on('data', (chunk: Buffer) => {
			if (isOpen()) {
				later(() => {
					if (to.writable) {
						to.write(chunk);
					}
				});
			}
		});
		from.on('end', () => {
			later(() => {
				to.end();
			});
		});
	}
}
