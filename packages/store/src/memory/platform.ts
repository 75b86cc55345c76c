import type {Platform} from '../table.js';
import {MemoryHostList} from './hosts.js';
import {MemoryObjectStore} from './objects.js';
import {MemoryTable} from './table.js';

/** A whole platform in this process's memory; it keeps nothing after the process ends. */
export function createMemoryPlatform(): Platform & {readonly hosts: MemoryHostList} {
	return {table: new MemoryTable(), objects: new MemoryObjectStore(), hosts: new MemoryHostList()};
}
