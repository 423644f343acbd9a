import * as childProcess from 'node:child_process';
import * as net from 'node:net';
import * as readline from 'node:readline';
import * as url from 'node:url';

const LISTENING_LINE = /^listening (\d+)$/;

const children = new Set<childProcess.ChildProcess>();

/** No process outlives the one that started it. */
process.once('exit', () => {
  for (const child of children) child.kill('SIGKILL');
});
for (const signal of ['SIGTERM', 'SIGHUP'] as const) {
  process.once(signal, () => process.exit(1));
}

/** A process that was started here. */
export interface RunningProcess {
  readonly name: string;
  readonly child: childProcess.ChildProcess;
  /** Resolves when the process has ended. */
  readonly exited: Promise<number | null>;
}

/** What a process is started with. */
export interface StartOptions {
  readonly name: string;
  readonly script: string;
  readonly args: readonly string[];
  readonly env?: Readonly<Record<string, string>>;
  readonly onLine?: (line: string) => void;
  readonly onErrorLine?: (line: string) => void;
}

/** The path of a built script of this repository. */
export function scriptPath(packageName: string, file: string): string {
  const here = new URL('.', import.meta.url);
  const path = `../../${packageName}/dist/${file}`;
  return url.fileURLToPath(new URL(path, here));
}

/** Starts a Node.js process. */
export function start(options: StartOptions): RunningProcess {
  const {name, script, args, env, onLine, onErrorLine} = options;
  const child = childProcess.spawn(process.execPath, [script, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: {...process.env, ...env},
  });
  const lines = readline.createInterface({input: child.stdout});
  lines.on('line', line => onLine?.(line));
  const errors = readline.createInterface({input: child.stderr});
  errors.on('line', line => onErrorLine?.(line));
  children.add(child);
  const ended = new Promise<number | null>(resolve => {
    child.once('exit', code => {
      children.delete(child);
      resolve(code);
    });
  });
  return {name, child, exited: ended};
}

/** What a stand-in is started with. */
export interface StandInOptions {
  readonly name: string;
  readonly kind: string;
  readonly port: number;
  readonly behaviour: object;
  /** Gets what the stand-in says that it did. */
  readonly onLine?: (line: string) => void;
}

/** Starts a stand-in; resolves once it listens. */
export function startStandIn(options: StandInOptions): Promise<RunningProcess> {
  const {name, kind, port, behaviour, onLine} = options;
  return new Promise((resolve, reject) => {
    const errors: string[] = [];
    const started = start({
      name,
      script: scriptPath('standins', 'main.js'),
      args: [kind, String(port), JSON.stringify(behaviour)],
      onLine: line => {
        if (LISTENING_LINE.test(line)) resolve(started);
        else onLine?.(line);
      },
      onErrorLine: line => errors.push(line),
    });
    void started.exited.then(code =>
      reject(new Error(`${name} ended with ${code}: ${errors.join(' ')}`)),
    );
  });
}

/** Ports below those that the system gives to outgoing connections, so that none is taken before its process starts. */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
const PORT_STRIDE = 97;

let portIndex = (process.pid * PORT_STRIDE) % PORT_COUNT;

/** Ports on loopback that are free now and not handed out before. */
export async function freePorts(count: number): Promise<readonly number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    portIndex = (portIndex + 1) % PORT_COUNT;
    const port = FIRST_PORT + portIndex;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

function isFree(port: number): Promise<boolean> {
  const server = net.createServer();
  return new Promise(resolve => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
