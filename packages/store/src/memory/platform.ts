import type {Platform} from '../table.js';
import {MemoryHosts} from './hosts.js';
import {MemoryObjects} from './objects.js';
import {MemoryTable} from './table.js';

/** A whole platform in this process's memory; it keeps nothing after the process ends. */
export function createMemoryPlatform(): Platform & {readonly hosts: MemoryHosts} {
	return {table: new MemoryTable(), objects: new MemoryObjects(), hosts: new MemoryHosts()};
}
