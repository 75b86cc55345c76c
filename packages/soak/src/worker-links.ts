import {Link, type LinkState} from './proxy.js';

/** The links from all hosts to one worker, at the same port of an address of each host. A fault of the worker affects all of them. */
export class WorkerLinks {
	readonly #links: Link[];

	/** @param getTarget returns the `IP:port` of the worker; called for each connection. @param ips address for each host. */
	constructor(getTarget: () => string, private readonly ips: readonly string[]) {
		this.#links = ips.map(() => new Link(getTarget));
	}

	/** `IP:port` to register for the worker; hosts replace the IP address by their own of `ips`. */
	get address(): string {
		return this.#links[0]!.address;
	}

	/** Link of one host. */
	get(hostIndex: number): Link {
		return this.#links[hostIndex]!;
	}

	async start(): Promise<void> {
		const [first, ...others] = this.#links;
		await first!.start(this.ips[0]);
		await Promise.all(others.map(async (link, index) => link.start(this.ips[index + 1], first!.port)));
	}

	async stop(): Promise<void> {
		await Promise.all(this.#links.map(async link => link.stop()));
	}

	/** Starts a fault on all links. @returns a function that ends it. */
	startFault(state: LinkState): () => void {
		const ends = this.#links.map(link => link.startFault(state));
		return () => {
			for (const end of ends) {
				end();
			}
		};
	}

	clearFaults(): void {
		for (const link of this.#links) {
			link.clearFaults();
		}
	}

	resetConnections(): void {
		for (const link of this.#links) {
			link.resetConnections();
		}
	}
}
