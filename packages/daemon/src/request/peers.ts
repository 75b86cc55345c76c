import type {PeerAddress} from '../peer/forward.js';
import type {AlternativeHost} from './answer.js';
import type {RequestContext} from './context.js';

/** Where a request may go besides this host. */
export interface PeerSelector {
	/** The host of an incarnation, while it can be reached. */
	find(host: string, incarnation: string): PeerAddress | undefined;
	/** A host of a region that likely has room for a member's request of a service. */
	findWithRoom(region: string, service: string, caps: RequestContext['caps'], member: string, localRoom: number): PeerAddress | undefined;
	/** Notes a request that was passed on. */
	recordForward(host: string, service: string): void;
	/** Notes what a peer said of its room. */
	recordRoom(host: string, service: string, room: number): void;
	/** Hosts that a refused caller may try. */
	listAlternatives(service: string): readonly AlternativeHost[];
}
