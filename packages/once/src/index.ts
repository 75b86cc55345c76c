export {Outcome} from './outcome.js';
export {
	TicketFault, TicketSigner, type Ticket, type TicketResult,
} from './ticket.js';
export {
	BeginResult, RequestMemory, RunRecord, RunState, type Begun, type MemoryOptions, type StoredAnswer,
} from './memory.js';
export {
	ClaimBook, ClaimResult, type ClaimRow, type ClaimStore, type Claimed,
} from './claim.js';
