export {
	FindingsError, collectFindings, formatFindings, formatPlace, parseOrThrow, type Finding,
} from './finding.js';
