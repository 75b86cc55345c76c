/* eslint-disable camelcase, no-void -- names of the platform; a request is handled beside the others */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {closeServer, listen} from './net.mjs';

const MAX_PAGE_ROWS = 500;
/** Tables that only the operator and the workers write to. */
const RESERVED_TABLES = new Set(['op', 'servers']);

/** Stand-in of the platform's store: rows with versions, transactions and a feed of changes. It loses nothing. */
export class Store {
	#rows = new Map();
	#history = [];
	#version = 1;
	#server = createServer((req, res) => {
		void this.#handle(req, res);
	});

	async start() {
		this.address = await listen(this.#server);
		return this;
	}

	async stop() {
		await closeServer(this.#server);
	}

	/** Writes a row for the operator or a worker. The return is the ack. */
	put(table, key, value) {
		this.#write({table, part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64')});
	}

	/** Removes a row for the operator or a worker. */
	remove(table, key) {
		this.#write({table, part: '', key, deleted: true});
	}

	#write(row) {
		const changed = {...row, row_version: ++this.#version};
		this.#history.push(changed);
		const id = JSON.stringify([row.table, row.part, row.key]);
		if (row.deleted) {
			this.#rows.delete(id);
		} else {
			this.#rows.set(id, changed);
		}
	}

	async #handle(req, res) {
		const chunks = [];
		try {
			for await (const chunk of req) {
				chunks.push(chunk);
			}
		} catch {
			return;
		}

		const {pathname, searchParams: query} = new URL(req.url, 'http://store');
		switch (`${req.method} ${pathname}`) {
			case 'GET /v1/rows-get': {
				this.#sendRows(res, query);
				break;
			}

			case 'GET /v1/rows-feed': {
				const rows = this.#history.filter(row => row.table === query.get('table') && row.row_version > Number(query.get('after')));
				this.#send(res, 200, {rows});
				break;
			}

			case 'GET /v1/rows-parts': {
				const parts = new Set([...this.#rows.values()].filter(row => row.table === query.get('table')).map(row => row.part));
				this.#send(res, 200, {parts: [...parts].toSorted(), has_more: false});
				break;
			}

			case 'POST /v1/rows-tx': {
				this.#transact(res, JSON.parse(Buffer.concat(chunks).toString()));
				break;
			}

			default: {
				this.#send(res, 404, {});
			}
		}
	}

	#sendRows(res, query) {
		const limit = Math.min(MAX_PAGE_ROWS, Number(query.get('limit') ?? MAX_PAGE_ROWS));
		const from = query.get('from') ?? '';
		const to = query.get('to');
		const all = [...this.#rows.values()]
			.filter(row => row.table === query.get('table') && row.part === (query.get('part') ?? '') && row.key >= from && (to === null || row.key < to))
			.toSorted((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)));
		this.#send(res, 200, {rows: all.slice(0, limit), has_more: all.length > limit});
	}

	#transact(res, {expected_rev: expected = [], writes = [], remove = []}) {
		if ([...writes, ...remove].some(({table}) => RESERVED_TABLES.has(table))) {
			this.#send(res, 403, {});
			return;
		}

		const current = expected.map(({table, part = '', key}) => this.#rows.get(JSON.stringify([table, part, key])) ?? {table, part, key, row_version: 0});
		if (current.some((row, index) => row.row_version !== expected[index].row_version)) {
			this.#send(res, 412, {rows: current});
			return;
		}

		for (const {table, part = '', key, value} of writes) {
			this.#write({table, part, key, value});
		}

		for (const {table, part = '', key} of remove) {
			this.#write({table, part, key, deleted: true});
		}

		this.#send(res, 200, {});
	}

	#send(res, status, body) {
		res.writeHead(status, {'content-type': 'application/json', 'store-era': '0'});
		res.end(JSON.stringify({...body, row_version: this.#version, now: `${Math.round(performance.now())}ms`}));
	}
}
