import {request} from 'undici';
import VError from 'verror';

/** How a call ended that the host did not carry out. */
export enum ApiErrorName {
	Unreachable = 'Unreachable',
	Refused = 'Refused',
	Stale = 'Stale',
}

const REQUEST_TIMEOUT_MS = 10_000;

/** The operators' interface of one entry host. */
export class ApiClient {
	constructor(private readonly origin: string, private readonly token: string | undefined) {}

	/** @throws {VError} named by `ApiErrorName`. */
	async get<T>(path: string, query: Readonly<Record<string, string>> = {}): Promise<T> {
		const search = new URLSearchParams(query).toString();
		return this.#call<T>('GET', search === '' ? path : `${path}?${search}`, undefined);
	}

	/** @throws {VError} named by `ApiErrorName`. */
	async post<T>(path: string, body: unknown): Promise<T> {
		return this.#call<T>('POST', path, JSON.stringify(body));
	}

	async #call<T>(method: 'GET' | 'POST', path: string, body: string | undefined): Promise<T> {
		let status: number;
		let text: string;
		try {
			const res = await request(this.origin + path, {
				method, body, headers: this.#headers(), headersTimeout: REQUEST_TIMEOUT_MS, bodyTimeout: REQUEST_TIMEOUT_MS,
			});
			status = res.statusCode;
			text = await res.body.text();
		} catch (error) {
			throw new VError({name: ApiErrorName.Unreachable, cause: error as Error}, 'no answer from %s; name a running entry host with --host', this.origin);
		}

		const answer = JSON.parse(text) as T & {message?: string};
		if (status !== 200) {
			const name = status === 409 ? ApiErrorName.Stale : ApiErrorName.Refused;
			throw new VError({name, info: {answer}}, '%s', answer.message ?? `the host answered with status ${status}`);
		}

		return answer;
	}

	#headers(): Record<string, string> {
		const headers: Record<string, string> = {'content-type': 'application/json'};
		if (this.token !== undefined) {
			headers.authorization = `Bearer ${this.token}`;
		}

		return headers;
	}
}
