import {createHash} from 'node:crypto';
import {
	request, type Agent, type ClientRequest, type IncomingMessage,
} from 'node:http';
import type {Socket} from 'node:net';
import {wasResetAtEnd} from '@apricotwood/entry';
import {createCallerHeaders, createResponseBody, readSignature} from '@apricotwood/platform/standin';
import {CallEnd, CallKind, type Call} from './records.js';

/** Number of characters of each response body that are kept in the records. */
const KEPT_ANSWER_CHARS = 200;
/** A call without a response for this much longer than its timeout counts as hung, ms. */
const HUNG_MARGIN_MS = 2500;

/** Creates the record of a call that is about to be sent. */
export function createCall({id, kind, host, url, bytes, timeoutMs}: Pick<Call, 'id' | 'kind' | 'host' | 'url' | 'bytes' | 'timeoutMs'>): Call {
	return {
		id,
		kind,
		host,
		method: kind === CallKind.Read ? 'GET' : 'POST',
		url,
		bytes,
		digest: createHash('md5').update(createBody(bytes)).digest('hex'),
		timeoutMs,
		sentAtMs: Date.now(),
		end: CallEnd.Hung,
		endAtMs: 0,
		status: 0,
		signature: undefined,
		isExpected: false,
		answer: '',
	};
}

/** Sends a call to `IP:port` and waits for its end, which is recorded in the call. @param givesUpAfterMs time after which the caller cancels the call on purpose, ms; `undefined` if it does not. @returns whether the connection can be reused. */
export async function sendCall(call: Call, address: string, agent: Agent, givesUpAfterMs?: number): Promise<boolean> {
	const [ip, port] = address.split(':');
	return new Promise(resolve => {
		const req = request({
			host: ip, port, path: call.url, method: call.method, agent, headers: {
				...createCallerHeaders(call.id, call.timeoutMs, call.url.split('?')[0]!), 'content-length': call.bytes,
			},
		});
		const finish = (end: CallEnd, isReusable: boolean) => {
			if (call.endAtMs === 0) {
				call.end = end;
				call.endAtMs = Date.now();
				clearTimeout(timer);
				resolve(isReusable);
			}
		};

		const timer = setTimeout(() => {
			finish(givesUpAfterMs === undefined ? CallEnd.Hung : CallEnd.GaveUp, false);
			req.destroy();
		}, givesUpAfterMs ?? call.timeoutMs + HUNG_MARGIN_MS);
		observeResponse(req, call, finish);
		req.end(createBody(call.bytes));
	});
}

function observeResponse(req: ClientRequest, call: Call, finish: (end: CallEnd, isReusable: boolean) => void): void {
	let socket: Socket | undefined;
	let wasReset = Promise.resolve(false);
	req.on('socket', assigned => {
		socket = assigned;
		if (assigned.readableEnded) {
			// The host had ended the connection before; nothing is read from it any more, not even a reset.
			finish(CallEnd.NoAnswer, false);
			req.destroy();
			return;
		}

		const onEnd = () => {
			wasReset = wasResetAtEnd(assigned);
		};

		// Before the client's own listener, which ends the connection.
		assigned.prependOnceListener('end', onEnd);
		req.once('close', () => {
			assigned.off('end', onEnd);
		});
	});
	req.on('response', (res: IncomingMessage) => {
		call.status = res.statusCode ?? 0;
		call.signature = readSignature(res.headers);
		let body = '';
		res.on('data', chunk => {
			body += String(chunk);
		});
		res.on('error', () => {
			finish(CallEnd.Cut, false);
		});
		res.on('close', () => {
			call.isExpected = body === createResponseBody(call.method, call.url, call.bytes);
			call.answer = body.slice(0, KEPT_ANSWER_CHARS);
			void wasReset.then(isReset => {
				const isComplete = res.complete && !isReset;
				finish(isComplete ? CallEnd.Answered : CallEnd.Cut, isComplete && res.headers.connection !== 'close');
			});
		});
	});
	req.on('error', () => {
		finish(socket?.connecting === false || req.reusedSocket || (socket?.bytesWritten ?? 0) > 0 ? CallEnd.NoAnswer : CallEnd.NoConnection, false);
	});
}

function createBody(bytes: number): string {
	return 'b'.repeat(bytes);
}
