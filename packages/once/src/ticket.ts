import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import {LRUCache} from 'lru-cache';

/** What a ticket says: who may run requests of one member and service, and until when. */
export type Ticket = {
	readonly host: string;
	readonly incarnation: string;
	readonly member: string;
	readonly service: string;
	/** Unix ms. */
	readonly expiresAtMs: number;
};

/** Why a ticket was refused. */
export enum TicketFault {
	Malformed = 'ticket-malformed',
	Forged = 'ticket-forged',
}

export type TicketResult = {readonly ok: true; readonly ticket: Ticket} | {readonly ok: false; readonly fault: TicketFault};

const MAX_CACHED_TICKETS = 10_000;
const MAX_TICKET_CHARS = 1024;

/** Signs and verifies tickets with HMAC-SHA-256; every host of a deployment has the same key. */
export class TicketSigner {
	readonly #verified = new LRUCache<string, Ticket>({max: MAX_CACHED_TICKETS});

	constructor(private readonly key: string) {}

	sign(ticket: Ticket): string {
		const {host, incarnation, member, service, expiresAtMs} = ticket;
		const payload = Buffer.from(JSON.stringify([host, incarnation, member, service, expiresAtMs])).toString('base64url');
		return `${payload}.${this.#computeMac(payload).toString('base64url')}`;
	}

	/** Checks the signature only; expiry and names are the caller's to check. */
	verify(text: string): TicketResult {
		const cached = this.#verified.get(text);
		if (cached) {
			return {ok: true, ticket: cached};
		}

		const [payload, mac, extra] = text.split('.', 3);
		if (text.length > MAX_TICKET_CHARS || !payload || !mac || extra !== undefined) {
			return {ok: false, fault: TicketFault.Malformed};
		}

		const expectedMac = this.#computeMac(payload);
		const givenMac = Buffer.from(mac, 'base64url');
		if (givenMac.length !== expectedMac.length || !timingSafeEqual(givenMac, expectedMac)) {
			return {ok: false, fault: TicketFault.Forged};
		}

		const ticket = parseTicket(payload);
		if (!ticket) {
			return {ok: false, fault: TicketFault.Malformed};
		}

		this.#verified.set(text, ticket);
		return {ok: true, ticket};
	}

	#computeMac(payload: string): Buffer {
		return createHmac('sha256', this.key).update(payload).digest();
	}
}

function parseTicket(payload: string): Ticket | undefined {
	try {
		const fields = JSON.parse(Buffer.from(payload, 'base64url').toString()) as [string, string, string, string, number];
		const [host, incarnation, member, service, expiresAtMs] = fields;
		return {
			host, incarnation, member, service, expiresAtMs,
		};
	} catch {
		return undefined;
	}
}
