export {
	ListedState, type CommitResult, type HostList, type ListedHost, type ObjectStore, type Platform, type Row, type RowWrite, type ScanResult, type Table,
} from './table.js';
export {PlatformError, PlatformFault} from './error.js';
export {MemoryHosts} from './memory/hosts.js';
export {MemoryObjects} from './memory/objects.js';
export {MemoryTable} from './memory/table.js';
export {createMemoryPlatform} from './memory/platform.js';
export {Breaker, BreakerState} from './guard/breaker.js';
export {PlatformGuard, type CallCounts, type GuardOptions} from './guard/guard.js';
export {RateBudget} from './guard/rate.js';
export {HttpPlatform} from './http/client.js';
export {PlatformPath} from './http/protocol.js';
