import {Pool} from 'undici';
import {PlatformError, PlatformFailure} from '../error.js';
import type {
	CommitResult, ListedAddress, Platform, Row, RowWrite, ScanResult,
} from '../platform.js';
import {PlatformPath} from './protocol.js';

const MAX_CONNECTIONS = 4;
/** Applies separately to connecting, to the response headers and to gaps in the response body. */
const TIMEOUT_MS = 2000;

/** HTTP client of a platform that implements `PlatformPath`. */
export class HttpPlatform implements Platform {
	readonly #pool: Pool;

	/** @param origin for example `http://192.0.2.1:7000`. */
	constructor(origin: string) {
		this.#pool = new Pool(origin, {
			connections: MAX_CONNECTIONS, headersTimeout: TIMEOUT_MS, bodyTimeout: TIMEOUT_MS, connect: {timeout: TIMEOUT_MS},
		});
	}

	readonly table = {
		read: async (key: string): Promise<Row | undefined> => this.#call<Row | undefined>(PlatformPath.Read, {key}),
		scan: async (prefix: string, afterVersion: number): Promise<ScanResult> => this.#call<ScanResult>(PlatformPath.Scan, {prefix, afterVersion}),
		commit: async (writes: readonly RowWrite[]): Promise<CommitResult> => this.#call<CommitResult>(PlatformPath.Commit, {writes}),
	};

	readonly objects = {
		put: async (name: string, body: string): Promise<void> => this.#call(PlatformPath.Put, {name, body}),
		get: async (name: string): Promise<string | undefined> => this.#call<string | undefined>(PlatformPath.Get, {name}),
	};

	readonly hosts = {
		list: async (): Promise<readonly ListedAddress[]> => this.#call<readonly ListedAddress[]>(PlatformPath.Hosts, {}),
	};

	async close(): Promise<void> {
		await this.#pool.destroy();
	}

	/** @throws {PlatformError} when no complete response arrives or its status is not 200. */
	async #call<T>(path: PlatformPath, body: unknown): Promise<T> {
		let status: number;
		let text: string;
		try {
			const res = await this.#pool.request({
				path, method: 'POST', body: JSON.stringify(body), headers: {'content-type': 'application/json'},
			});
			status = res.statusCode;
			text = await res.body.text();
		} catch (error) {
			throw new PlatformError(PlatformFailure.NoResponse, `the platform gave no reply to ${path}`, {cause: error});
		}

		if (status !== 200) {
			throw new PlatformError(PlatformFailure.ErrorResponse, `the platform responded to ${path} with status ${status}`);
		}

		return (JSON.parse(text) as {result?: T}).result as T;
	}
}
