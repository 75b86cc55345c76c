import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import type {Clock} from '@apricotwood/clock';

/** A message between hosts is accepted for this long, ms; covers clock skew. */
const MAX_MESSAGE_AGE_MS = 30_000;

/** Signs and checks what hosts say to each other, with HMAC-SHA-256 under the key that all hosts share. */
export class PeerAuth {
	constructor(private readonly key: string, private readonly clock: Clock) {}

	/** @returns `PAYLOAD.INSTANT.MAC`, where the payload is JSON in base64url. */
	sign(payload: unknown): string {
		const text = `${Buffer.from(JSON.stringify(payload)).toString('base64url')}.${this.clock.now()}`;
		return `${text}.${this.#computeMac(text)}`;
	}

	/** The payload of a signed text; `undefined` when it is forged, malformed or too old. */
	verify(signed: string): unknown {
		const [payload, timestamp, mac, extraPart] = signed.split('.', 4);
		if (!payload || !timestamp || !mac || extraPart !== undefined) {
			return undefined;
		}

		const actualMac = Buffer.from(mac);
		const expectedMac = Buffer.from(this.#computeMac(`${payload}.${timestamp}`));
		const isAuthentic = actualMac.length === expectedMac.length && timingSafeEqual(actualMac, expectedMac);
		if (!isAuthentic || Math.abs(this.clock.now() - Number(timestamp)) > MAX_MESSAGE_AGE_MS) {
			return undefined;
		}

		return JSON.parse(Buffer.from(payload, 'base64url').toString());
	}

	#computeMac(text: string): string {
		return createHmac('sha256', this.key).update(text).digest('base64url');
	}
}
