export {
	ChildState, Supervisor, type Child, type SupervisorOptions,
} from './supervisor.js';
export {deferEnd, guardEvents, type ExceptionListener} from './socket-guard.js';
