import {describe, it} from 'node:test';
import {expect} from 'earl';
import {FrameDecoder, FrameError, encodeFrame} from '../src/index.js';
import type {Message} from '../src/index.js';

const MESSAGE: Message = {type: 'leaving', node: 'side-1'};

describe('frames', () => {
  describe('decoder', () => {
    it('joins a message that arrives one byte at a time', () => {
      const decoder = new FrameDecoder();
      const frame = encodeFrame(MESSAGE);
      const messages = [...frame].flatMap(byte =>
        decoder.push(Buffer.from([byte])),
      );
      expect(messages).toEqual([MESSAGE]);
    });

    it('splits several messages that arrive together', () => {
      const frame = encodeFrame(MESSAGE);
      const both = Buffer.concat([frame, frame]);
      expect(new FrameDecoder().push(both)).toEqual([MESSAGE, MESSAGE]);
    });

    it('rejects a length beyond the limit before it buffers the body', () => {
      const header = Buffer.from([0xff, 0xff, 0xff, 0xff]);
      expect(() => new FrameDecoder().push(header)).toThrow(FrameError);
    });
  });
});
