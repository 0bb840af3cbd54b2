package org.wigeonferry.entry;

import org.wigeonferry.core_types.AccountId;
import org.wigeonferry.core_types.Bill;
import org.wigeonferry.core_types.RequestId;
import org.wigeonferry.core_types.RowPut;
import org.wigeonferry.messages.gen.BillMessage;
import org.wigeonferry.platform_clients.JsonHttpClient;

/**
 * Converts bills to and from peer messages, and to rows of the table service.
 *
 * <p>Stateless and thread safe.
 */
final class BillCodec {
    private BillCodec() {}

    static BillMessage toMessage(Bill bill) {
        return new BillMessage(
                bill.account().value(),
                bill.requestId().value(),
                bill.servedBy(),
                bill.generatedTokens(),
                bill.costMicros());
    }

    static Bill fromMessage(BillMessage message) {
        return Bill.builder()
                .account(new AccountId(message.getAccount()))
                .requestId(new RequestId(message.getRequestId()))
                .servedBy(message.getTarget())
                .generatedTokens(message.getTokens())
                .costMicros(message.getCostMicros())
                .build();
    }

    static RowPut toRow(Bill bill) {
        String value =
                JsonHttpClient.newObject()
                        .put("target", bill.servedBy())
                        .put("tokens", bill.generatedTokens())
                        .put("cost_micros", bill.costMicros())
                        .toString();
        return new RowPut(bill.rowKey(), value);
    }
}
