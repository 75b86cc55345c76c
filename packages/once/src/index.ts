export {Outcome} from './outcome.js';
export {
	TicketFault, TicketSigner, type Ticket, type TicketResult,
} from './ticket.js';
export {
	BeginResult, IdempotencyStore, RequestRecord, RequestState, type BeginOutcome, type IdempotencyStoreOptions, type StoredResponse,
} from './memory.js';
export {
	ClaimRegistry, ClaimResult, type ClaimRow, type ClaimStore, type ClaimOutcome,
} from './claim.js';
