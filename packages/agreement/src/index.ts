export {
	DrainKind, Priority, Repeat, agreementSchema,
	type Agreement, type Block, type Cap, type Drain, type Link, type Member, type Region, type Service, type Shift, type Site, type Worker,
} from './types.js';
export {checkAgreement} from './check.js';
export {
	maskWord, parseAddress, parsePrefix, type Prefix,
} from './prefix.js';
export {
	ChangeKind, EMPTY_AGREEMENT, Section, applyPatch, diffAgreements, keyOf, parsePatch, type Change, type Patch,
} from './patch.js';
export {AgreementState} from './state.js';
export {
	ResourceKind, WHOLE_DEMAND, listResources, memberDemand, serviceDemand, type Resource,
} from './resources.js';
