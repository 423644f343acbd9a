// Stand-in of the platform's store (PROTOCOL.md, "The platform's metadata
// store"): tables of rows, a change feed, conditional transactions.
import http from 'node:http';

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
const encode = text => Buffer.from(text).toString('base64');
const decode = data => Buffer.from(data ?? '', 'base64').toString();

export class Store {
  /** The time that each answer takes, in milliseconds; SYSTEM.md: 4 ms. */
  answerMs = 4;
  /** Called after each write: table, key, text (undefined when removed), writer ('system' or 'platform'). */
  onWrite = () => {};
  /** Returns 'silent', 'busy' or undefined for a call; `host` is the port on which it arrived. */
  faultOf = () => undefined;
  #rows = new Map();
  #changes = [];
  #version = 0;
  #waiting = new Set();
  #servers = [];

  /** Listens on a free port of loopback; each listener stands for the path of one machine. Resolves to `ip:port`. */
  listen(name = '') {
    const server = http.createServer((request, response) => {
      this.#handle(name, request, response).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 60_000;
    this.#servers.push(server);
    return new Promise(resolve => {
      server.listen(0, '127.0.0.1', () =>
        resolve(`127.0.0.1:${server.address().port}`),
      );
    });
  }

  close() {
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  get(table, key) {
    const row = this.#rows.get(`${table}/${key}`);
    return row && decode(row.data);
  }

  /** Writes a row as the operator or a runner does. */
  put(table, key, text) {
    this.#version++;
    this.#apply(table, key, text, 'platform');
    this.#wake();
  }

  #apply(collection, key, text, writer) {
    const row = {
      ...{collection, part: '', key},
      data: text === undefined ? '' : encode(text),
      'schema-version': this.#version,
      ...(text === undefined && {deleted: true}),
    };
    if (text === undefined) this.#rows.delete(`${collection}/${key}`);
    else this.#rows.set(`${collection}/${key}`, row);
    this.#changes.push(row);
    this.onWrite(collection, key, text, writer);
  }

  #wake() {
    for (const wake of this.#waiting) wake();
    this.#waiting.clear();
  }

  #head() {
    return {
      'schema-version': this.#version,
      'timestamp-ms': Math.round(performance.now()),
    };
  }

  async #handle(name, request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const url = new URL(request.url, 'http://store');
    const call = url.pathname.replace('/api/', '');
    const fault = this.faultOf(name, call);
    if (fault === 'silent') return;
    // The call is performed at once; its answer takes the time.
    const {answerMs} = this;
    const [status, body] =
      fault === 'busy'
        ? [503, {}]
        : await this.#perform(call, url.searchParams, Buffer.concat(chunks));
    await sleep(answerMs);
    if (response.destroyed) return;
    response.writeHead(status, {
      'Content-Type': 'application/json',
      'Store-Era': '1',
    });
    response.end(JSON.stringify(body));
  }

  async #perform(call, query, body) {
    const table = query.get('collection');
    if (call === 'rows-get') {
      const from = query.get('source') ?? '';
      const to = query.get('to');
      const rows = [...this.#rows.values()]
        .filter(row => row.collection === table)
        .filter(({key}) => key >= from && (to === null || key < to))
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      const most = Number(query.get('page-size') ?? 500);
      const page = rows.slice(0, most);
      return [
        200,
        {...this.#head(), rows: page, 'has-more': rows.length > page.length},
      ];
    }
    if (call === 'rows-feed') {
      const since = Number(query.get('since-revision'));
      const untilMs = performance.now() + Number(query.get('wait-ms'));
      for (;;) {
        const rows = this.#changes.filter(
          row => row['schema-version'] > since && row.collection === table,
        );
        const leftMs = untilMs - performance.now();
        if (rows.length > 0 || leftMs <= 0) {
          return [200, {...this.#head(), rows}];
        }
        await new Promise(resolve => {
          this.#waiting.add(resolve);
          setTimeout(resolve, leftMs);
        });
      }
    }
    if (call === 'rows-tx') {
      const tx = JSON.parse(body.toString());
      const names = [...(tx.write ?? []), ...(tx.remove ?? [])];
      if (names.some(row => ['op', 'servers'].includes(row.collection))) {
        return [403, {}];
      }
      const conflicts = (tx['expected-revision'] ?? []).filter(row => {
        const found = this.#rows.get(`${row.collection}/${row.key}`);
        return (found?.['schema-version'] ?? 0) !== row['schema-version'];
      });
      if (conflicts.length > 0) return [412, {...this.#head(), rows: []}];
      this.#version++;
      for (const {collection, key, data} of tx.write ?? []) {
        this.#apply(collection, key, decode(data), 'system');
      }
      for (const {collection, key} of tx.remove ?? []) {
        this.#apply(collection, key, undefined, 'system');
      }
      this.#wake();
      return [200, this.#head()];
    }
    return [404, {}];
  }
}
