import type {RequestContext} from './context.js';
import {HeaderName, copyRequestHeaders} from './headers.js';

/** Creates the headers that all attempts of a request share, as alternating names and values. @param isBodyStreamed whether the body is sent as it arrives, with the length that the caller has announced. */
export function createAttemptHeaders(ctx: RequestContext, isBodyStreamed: boolean): string[] {
	const headers = copyRequestHeaders(ctx.req);
	headers.push(HeaderName.Member, ctx.member.name, 'x-forwarded-for', ctx.callerAddress);
	if (ctx.headers.requestId !== undefined) {
		headers.push(HeaderName.RequestId, ctx.headers.requestId);
	}

	const length = ctx.req.headers['content-length'];
	if (isBodyStreamed && length !== undefined) {
		headers.push('content-length', length);
	}

	return headers;
}
