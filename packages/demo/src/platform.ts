import process from 'node:process';
import {SystemClock} from '@apricotwood/clock';
import {FaultyPlatform, PlatformServer} from '@apricotwood/standin';

const server = new PlatformServer(new FaultyPlatform(new SystemClock()));
await server.start();
process.send?.({port: server.port});
process.on('disconnect', () => {
	process.exit();
});
