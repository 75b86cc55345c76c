import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
	PlatformError, PlatformFailure, PlatformPath, createMemoryPlatform, type CommitResult, type ListedAddress, type Platform, type Row, type RowWrite, type ScanResult,
} from '@apricotwood/store';
import {sleep, type Clock} from '@apricotwood/clock';

/** How the stand-in platform fails; each can be switched while it runs. */
export type PlatformFaults = {
	isDown: boolean;
	/** Added to each call, ms. */
	delayMs: number;
	/** Writes take effect, and their replies are lost. */
	losesReplies: boolean;
	/** The list of hosts stays as it was. */
	isListFrozen: boolean;
};

/** A platform in memory that fails on demand and counts its calls. */
export class FaultyPlatform implements Platform {
	readonly memory = createMemoryPlatform();
	readonly faults: PlatformFaults = {
		isDown: false, delayMs: 0, losesReplies: false, isListFrozen: false,
	};

	reads = 0;
	writes = 0;
	#lastHostList: readonly ListedAddress[] = [];

	constructor(private readonly clock: Clock) {}

	readonly table = {
		read: async (key: string): Promise<Row | undefined> => this.#read(async () => this.memory.table.read(key)),
		scan: async (prefix: string, afterVersion: number): Promise<ScanResult> => this.#read(async () => this.memory.table.scan(prefix, afterVersion)),
		commit: async (writes: readonly RowWrite[]): Promise<CommitResult> => this.#write(async () => this.memory.table.commit(writes)),
	};

	readonly objects = {
		put: async (name: string, body: string): Promise<void> => this.#write(async () => this.memory.objects.put(name, body)),
		get: async (name: string): Promise<string | undefined> => this.#read(async () => this.memory.objects.get(name)),
	};

	readonly hosts = {
		list: async (): Promise<readonly ListedAddress[]> => this.#read(async () => {
			if (!this.faults.isListFrozen) {
				this.#lastHostList = await this.memory.hosts.list();
			}

			return this.#lastHostList;
		}),
	};

	async #read<T>(call: () => Promise<T>): Promise<T> {
		this.reads++;
		await this.#injectFaults();
		return call();
	}

	async #write<T>(call: () => Promise<T>): Promise<T> {
		this.writes++;
		await this.#injectFaults();
		const answer = await call();
		if (this.faults.losesReplies) {
			throw new PlatformError(PlatformFailure.NoResponse, 'the reply was lost');
		}

		return answer;
	}

	async #injectFaults(): Promise<void> {
		if (this.faults.delayMs > 0) {
			await sleep(this.clock, this.faults.delayMs);
		}

		if (this.faults.isDown) {
			throw new PlatformError(PlatformFailure.NoResponse, 'the platform is down');
		}
	}
}

type CallHandler = (body: Record<string, unknown>) => Promise<unknown>;

/** Serves a stand-in platform over HTTP. `POST /faults` with fields of `PlatformFaults` switches faults. */
export class PlatformServer {
	readonly #server: Server;
	readonly #handlers: ReadonlyMap<string, CallHandler>;

	constructor(readonly platform: FaultyPlatform) {
		const {table, objects, hosts} = platform;
		this.#handlers = new Map<string, CallHandler>([
			[PlatformPath.Read, async ({key}) => table.read(key as string)],
			[PlatformPath.Scan, async ({prefix, afterVersion}) => table.scan(prefix as string, afterVersion as number)],
			[PlatformPath.Commit, async ({writes}) => table.commit(writes as RowWrite[])],
			[PlatformPath.Put, async ({name, body}) => objects.put(name as string, body as string)],
			[PlatformPath.Get, async ({name}) => objects.get(name as string)],
			[PlatformPath.Hosts, async () => hosts.list()],
			['/faults', async body => Object.assign(platform.faults, body)],
			['/counts', async () => ({reads: platform.reads, writes: platform.writes})],
			['/hosts/set', async ({address, state}) => {
				platform.memory.hosts.set(address as string, state as never);
			}],
		]);
		this.#server = createServer((req, res) => {
			void this.#handle(req, res);
		});
	}

	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	async start(host = '127.0.0.1', port = 0): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen({host, port}, resolve);
		});
	}

	async stop(): Promise<void> {
		const closed = new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
		this.#server.closeAllConnections();
		await closed;
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const chunks: Buffer[] = [];
		for await (const chunk of req as AsyncIterable<Buffer>) {
			chunks.push(chunk);
		}

		const call = this.#handlers.get(req.url ?? '');
		try {
			const result = await call?.(JSON.parse(Buffer.concat(chunks).toString() || '{}') as Record<string, unknown>);
			const body = JSON.stringify({result});
			res.writeHead(call ? 200 : 404, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)});
			res.end(body);
		} catch {
			// A platform that is down does not answer at all.
			req.socket.destroy();
		}
	}
}
