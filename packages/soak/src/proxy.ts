import type {Buffer} from 'node:buffer';
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {resetSocket} from '@apricotwood/entry';
import {addressOf, listen} from '@apricotwood/platform/standin';

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
	hasLost: boolean;
};

/** A loopback link to one address, whose faults are set from outside. A connection on which bytes were lost is reset once the link is well again. */
export class Link {
	readonly #pairs = new Set<Pair>();
	readonly #server: Server = createServer({allowHalfOpen: true}, near => {
		this.#carry(near);
	});

	#state = LinkState.Well;

	/** @param target `IP:port`, asked for at each connection. */
	constructor(private readonly target: () => string) {}

	get address(): string {
		return addressOf(this.#server);
	}

	setState(state: LinkState): void {
		this.#state = state;
		if (state === LinkState.Reset) {
			this.#resetAll(() => true);
		} else if (state === LinkState.Well) {
			this.#resetAll(({hasLost}) => hasLost);
		}
	}

	async start(): Promise<this> {
		await listen(this.#server);
		return this;
	}

	async stop(): Promise<void> {
		this.#resetAll(() => true);
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	#resetAll(isMeant: (pair: Pair) => boolean): void {
		for (const pair of this.#pairs) {
			if (isMeant(pair)) {
				this.#pairs.delete(pair);
				resetSocket(pair.near);
				resetSocket(pair.far);
			}
		}
	}

	#carry(near: Socket): void {
		if (this.#state === LinkState.Reset) {
			resetSocket(near);
			return;
		}

		const [ip, port] = this.target().split(':');
		const far = connect({host: ip!, port: Number(port), allowHalfOpen: true});
		const pair = {near, far, hasLost: false};
		this.#pairs.add(pair);
		this.#pass(near, far, pair, () => this.#state !== LinkState.Silent);
		this.#pass(far, near, pair, () => this.#state !== LinkState.Silent && this.#state !== LinkState.OneWay);
		const end = (error: boolean) => {
			this.#pairs.delete(pair);
			for (const socket of [near, far]) {
				if (error) {
					resetSocket(socket);
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

	#pass(from: Socket, to: Socket, pair: Pair, isOpen: () => boolean): void {
		// What was held back goes first, also once the link is well again.
		let held: Promise<void> = Promise.resolve();
		let waiting = 0;
		const later = (run: () => void) => {
			if (this.#state !== LinkState.Delayed && waiting === 0) {
				run();
				return;
			}

			waiting++;
			const due = new Promise<void>(resolve => {
				setTimeout(resolve, this.#state === LinkState.Delayed ? DELAY_MS : 0);
			});
			held = Promise.all([held, due]).then(() => {
				waiting--;
				run();
			});
		};

		from.on('data', (chunk: Buffer) => {
			pair.hasLost ||= !isOpen();
			if (!pair.hasLost) {
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
