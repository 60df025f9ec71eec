/** The HTTP side of an entry: callers' requests in, answers out. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  RANKS,
  createRequestId,
  isRank,
  rankIndex,
  refuse,
  type InstanceId,
  type Metrics,
  type Rank,
  type Refusal,
  type RefusalReason,
} from '@azurecrank/core';
import type {Polka} from 'polka';
import {
  Generation,
  type GenerationDependencies,
  type GenerationRequest,
  type GenerationSink,
} from '../generation/generation.js';
import type {GenerationTable} from '../generation/generation_table.js';
import type {
  Caller,
  CallerDirectory,
  ModelService,
} from './caller_directory.js';
import {parseChatRequest, type ChatRequest} from './chat_request.js';
import {
  StreamingChatSink,
  WholeChatSink,
  createChatHead,
  sendProblem,
} from './chat_response.js';
import {readBody} from './http_body.js';

export interface GatewayOptions {
  readonly instance: InstanceId;
  readonly directory: CallerDirectory;
  readonly generations: GenerationTable;
  readonly generation: GenerationDependencies;
  readonly metrics: Metrics;
  readonly maxBodyBytes: number;
  readonly maxRequests: number;
  /** Reason for which new requests are refused, if there is one. */
  readonly unavailable: () => RefusalReason | undefined;
}

const RANK_HEADER = 'azurecrank-rank';
const DEADLINE_HEADER = 'azurecrank-deadline-ms';

export class Gateway {
  constructor(private readonly options: GatewayOptions) {}

  addRoutes(app: Polka): void {
    app.get('/v1/models', (req, res) => this.listModels(req, res));
    app.post('/v1/chat/completions', (req, res) => {
      void this.complete(req, res);
    });
  }

  /** Refuses with a problem document and counts the reason. */
  refuse(res: ServerResponse, refusal: Refusal): void {
    this.count(refusal);
    sendProblem(res, refusal, '');
  }

  count({reason}: Refusal): void {
    this.options.metrics.increment('azurecrank_refusals_total', {reason});
  }

  /** Returns the caller, or answers with a refusal. */
  authenticate(req: IncomingMessage, res: ServerResponse): Caller | undefined {
    const reason = this.options.unavailable();
    if (reason) {
      this.refuse(res, refuse(reason, 'accept'));
      return undefined;
    }
    const bearerKey = /^Bearer (.+)$/i.exec(req.headers.authorization ?? '');
    const caller =
      bearerKey && this.options.directory.findCaller(bearerKey[1].trim());
    if (!caller) this.refuse(res, refuse('unauthorized', 'accept'));
    return caller ?? undefined;
  }

  private listModels(req: IncomingMessage, res: ServerResponse): void {
    const caller = this.authenticate(req, res);
    if (!caller) return;
    const {directory} = this.options;
    const data = directory
      .modelServices()
      .filter(({service}) => directory.mayUse(caller, service))
      .map(({service}) => ({
        id: service,
        object: 'model',
        created: 0,
        owned_by: 'azurecrank',
      }));
    res.setHeader('content-type', 'application/json');
    res.end(JSON.stringify({object: 'list', data}));
  }

  private async complete(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const caller = this.authenticate(req, res);
    if (!caller) return;
    if (this.options.generations.size >= this.options.maxRequests) {
      return this.refuse(res, refuse('queue_full', 'accept'));
    }
    const body = await readBody(req, this.options.maxBodyBytes);
    if (!body) return this.refuse(res, refuse('body_too_large', 'accept'));
    const parsed = parseChatRequest(body);
    if (parsed.kind === 'invalid') {
      const {detail} = parsed;
      return this.refuse(res, refuse('invalid_request', 'accept', {detail}));
    }
    const {chat} = parsed;
    const service = this.options.directory.findModelService(chat.service);
    if (!service) {
      const detail = `no service named ${chat.service}`;
      return this.refuse(res, refuse('unknown_model', 'accept', {detail}));
    }
    if (!this.options.directory.mayUse(caller, service.service)) {
      return this.refuse(res, refuse('forbidden_service', 'accept'));
    }
    this.generate(req, res, caller, service, chat);
  }

  private generate(
    req: IncomingMessage,
    res: ServerResponse,
    caller: Caller,
    service: ModelService,
    chat: ChatRequest,
  ): void {
    const spec = this.toGenerationRequest(req, caller, service, chat);
    const {request} = spec;
    const {generations} = this.options;
    const ended = () => generations.remove(request);
    const head = createChatHead(request, chat.service);
    const sink = this.countRefusals(
      chat.isStreaming
        ? new StreamingChatSink(res, request, head, chat.includesUsage, ended)
        : new WholeChatSink(res, request, head, ended),
    );
    const generation = new Generation(spec, sink, this.options.generation);
    generations.add(generation);
    res.setHeader('azurecrank-request-id', request);
    res.once('close', () => {
      if (generation.isEnded) return;
      const reason = 'caller_left';
      this.options.metrics.increment('azurecrank_refusals_total', {reason});
      generation.cancel();
      ended();
    });
    generation.start();
  }

  private toGenerationRequest(
    req: IncomingMessage,
    caller: Caller,
    service: ModelService,
    chat: ChatRequest,
  ): GenerationRequest {
    const nowMs = performance.now();
    const deadlineMs = readDeadlineMs(req, service.deadlineMs);
    return {
      request: createRequestId(this.options.instance),
      workspace: caller.workspace,
      weight: caller.weight,
      rank: readRank(req, service.rank),
      service: service.service,
      model: service.model,
      prompt: chat.prompt,
      maxTokens: chat.maxTokens,
      deadlineAtMs: nowMs + deadlineMs,
      firstTokenDeadlineAtMs:
        nowMs + Math.min(service.firstTokenDeadlineMs, deadlineMs),
    };
  }

  private countRefusals(sink: GenerationSink): GenerationSink {
    return {
      onToken: text => sink.onToken(text),
      onEnd: (finish, promptTokens) => sink.onEnd(finish, promptTokens),
      onRefused: refusal => {
        this.count(refusal);
        sink.onRefused(refusal);
      },
    };
  }
}

/** A caller may ask for a lower rank than the service's, not a higher one. */
export function readRank(req: IncomingMessage, serviceRank: Rank): Rank {
  const asked = req.headers[RANK_HEADER];
  if (!isRank(asked)) return serviceRank;
  return RANKS[Math.max(rankIndex(asked), rankIndex(serviceRank))];
}

/** A caller may shorten the service's deadline. */
export function readDeadlineMs(
  req: IncomingMessage,
  serviceDeadlineMs: number,
): number {
  const asked = Number(req.headers[DEADLINE_HEADER]);
  const isUsable = Number.isFinite(asked) && asked > 0;
  return isUsable ? Math.min(asked, serviceDeadlineMs) : serviceDeadlineMs;
}
