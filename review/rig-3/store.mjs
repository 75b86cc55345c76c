/* eslint-disable camelcase, no-void -- the names of the pages; steps that follow each other; the exit code is the result */
// Stand-in of the platform's store: rows, the feed of changes and transactions, as the pages describe them.
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

const MAX_PAGE_ROWS = 500;
const TX_MS = 4;

export class Store {
	#rows = new Map();
	#history = [];
	#version = 1;
	#era = 0;
	#server = createServer((req, res) => {
		void this.#handle(req, res);
	});
	/** While set, calls are answered with this status. */
	failure;

	get address() {
		const {address, port} = this.#server.address();
		return `${address}:${port}`;
	}

	async start(ip) {
		await new Promise(resolve => {
			this.#server.listen(0, ip, resolve);
		});
	}

	stop() {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	put(table, key, value) {
		this.#apply({table, part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64')});
	}

	remove(table, key) {
		if (this.#rows.has(`${table}\0${key}`)) {
			this.#apply({table, part: '', key, deleted: true});
		}
	}

	#apply(row) {
		this.#version++;
		const changed = {...row, row_version: this.#version};
		this.#history.push(changed);
		if (row.deleted) {
			this.#rows.delete(`${row.table}\0${row.key}`);
		} else {
			this.#rows.set(`${row.table}\0${row.key}`, changed);
		}
	}

	async #handle(req, res) {
		const url = new URL(req.url, 'http://store');
		const chunks = [];
		for await (const chunk of req) {
			chunks.push(chunk);
		}

		await new Promise(resolve => {
			setTimeout(resolve, TX_MS);
		});
		if (this.failure !== undefined) {
			this.#send(res, this.failure, {});
			return;
		}

		switch (`${req.method} ${url.pathname}`) {
			case 'GET /v1/rows-get': {
				this.#sendRows(res, url.searchParams);
				break;
			}

			case 'GET /v1/rows-feed': {
				this.#sendFeed(res, url.searchParams);
				break;
			}

			case 'POST /v1/rows-tx': {
				const {writes = [], remove = []} = JSON.parse(Buffer.concat(chunks).toString('utf8'));
				for (const row of writes) {
					this.#apply(row);
				}

				for (const {table, key} of remove) {
					this.remove(table, key);
				}

				this.#send(res, 200, this.#stamp());
				break;
			}

			default: {
				this.#send(res, 404, {});
			}
		}
	}

	#sendRows(res, query) {
		const [table, from, to] = [query.get('table'), query.get('from') ?? '', query.get('to')];
		const limit = Math.min(MAX_PAGE_ROWS, Number(query.get('limit') ?? MAX_PAGE_ROWS));
		const rows = [...this.#rows.values()].filter(row => row.table === table && row.key >= from && (to === null || row.key < to));
		rows.sort((a, b) => a.key < b.key ? -1 : 1);
		this.#send(res, 200, {rows: rows.slice(0, limit), has_more: rows.length > limit, ...this.#stamp()});
	}

	#sendFeed(res, query) {
		const after = Number(query.get('after'));
		if (after > this.#version) {
			this.#send(res, 410, {});
			return;
		}

		this.#send(res, 200, {rows: this.#history.filter(row => row.table === query.get('table') && row.row_version > after), ...this.#stamp()});
	}

	#stamp() {
		return {row_version: this.#version, now: `${Math.round(performance.now())}ms`};
	}

	#send(res, status, body) {
		if (!res.destroyed) {
			res.writeHead(status, {'content-type': 'application/json', 'store-era': String(this.#era)});
			res.end(JSON.stringify(body));
		}
	}
}
