import * as operators from '@banyanhall/operators';
import got from 'got';
import type * as gotTypes from 'got';

const TIMEOUT_MS = 20_000;

/** The tool could not reach a host, or was turned away. */
export class ClientError extends Error {}

/** Calls to the operators' side of a host; tries each URL in turn until one answers. */
export class OperatorClient {
  private readonly http: gotTypes.Got;

  constructor(
    private readonly urls: readonly string[],
    key: string,
  ) {
    this.http = got.extend({
      retry: {limit: 0},
      throwHttpErrors: false,
      timeout: {request: TIMEOUT_MS},
      headers: {authorization: `Bearer ${key}`},
    });
  }

  /** Reads a path. Throws ClientError. */
  async get<T>(path: string): Promise<T> {
    const response = await this.any(url => this.http.get(url + path));
    return this.accepted<T>(response, [200]);
  }

  /**
   * Sends a change; it has an id of its own, so sending it again to another
   * host when a reply is lost has no second effect. Throws ClientError.
   */
  async change(
    request: operators.api.ChangeRequest,
  ): Promise<operators.api.ChangeResult> {
    const response = await this.any(url =>
      this.http.post(`${url}/operator/config`, {json: request}),
    );
    return this.accepted(response, [200, 400, 409, 503, 504]);
  }

  /** Sends a request about a move, to one host only. Throws ClientError. */
  async move(path: string, body: object): Promise<operators.api.MoveResult> {
    const url = this.urls[0] + path;
    const response = await this.any(() => this.http.post(url, {json: body}), 1);
    return this.accepted(response, [200, 409]);
  }

  /** The time lines of all hosts that answer, as one list. */
  async timelines(): Promise<readonly operators.api.TimelineEvent[]> {
    const lists = await Promise.all(
      this.urls.map(url =>
        this.http
          .get(`${url}/operator/timeline`)
          .json<readonly operators.api.TimelineEvent[]>()
          .catch(() => []),
      ),
    );
    return lists.flat().sort((a, b) => a.atMs - b.atMs || a.seq - b.seq);
  }

  private async any(
    call: (url: string) => Promise<gotTypes.Response<string>>,
    limit = this.urls.length,
  ): Promise<gotTypes.Response<string>> {
    let message = 'no operator URL is set';
    for (const url of this.urls.slice(0, limit)) {
      try {
        return await call(url);
      } catch (error) {
        message = `${url}: ${(error as Error).message}`;
      }
    }
    throw new ClientError(message);
  }

  private accepted<T>(
    response: gotTypes.Response<string>,
    statuses: readonly number[],
  ): T {
    if (statuses.includes(response.statusCode)) {
      return JSON.parse(response.body) as T;
    }
    const {statusCode, body} = response;
    throw new ClientError(`the host answered ${statusCode}: ${body}`);
  }
}
