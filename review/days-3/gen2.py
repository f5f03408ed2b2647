import random,sys
seed=int(sys.argv[1]); r=random.Random(seed)
L=41
P=[];F=[]
t=2.0
hv=r.choice(["","", "reclaim"])
while t<L-6:
    P.append(dict(at=round(t,2),kind="scale_in",share=r.choice([.17,.25]),service="agatemoor-pool"))
    if hv: P[-1]["how"]=hv; P[-1]["for_s"]=4; P[-1]["x"]=2.5
    t+=r.choice([4.0,5.5,7.0])
k=r.choice(["garble","answer_lost","grey","grey2","mix","cut"])
def add(**d): F.append(d)
for i in range(6):
    at=round(1+i*6.5,2)
    if at>L-5: break
    if k in("garble","mix"): add(at=at,kind="garble",share=.6,x=.05,for_s=5.5,how=r.choice(["","extra","unframed","extra late"]))
    if k in("answer_lost","mix"): add(at=at,kind="answer_lost",share=.5,x=.05,for_s=5.5,how=r.choice(["","reset"]))
    if k=="grey": add(at=at,kind="srv_grey",share=.14,x=.45,for_s=6.5,how=r.choice(["shed","errors","busy","reset"]),service="agatemoor-pool")
    if k=="grey2": add(at=at,kind="srv_grey",share=.14,x=.45,for_s=6.5,how=r.choice(["hang","mute","slow"]),service="agatemoor-pool")
    if k=="cut": add(at=at,kind="srv_cut",share=.2,for_s=5,how=r.choice(["some","fronts","some one_way","reset","reborn"]),x=.3,service="agatemoor-pool")
if r.random()<.5: add(at=round(r.uniform(3,20),1),kind="burst",x=1.7,for_s=3.0)
def tv(v): return '"%s"'%v if isinstance(v,str) else repr(v)
def tl(n,l): return n+" = [\n"+"".join("  { "+", ".join(f"{k} = {tv(v)}" for k,v in d.items() if v!="")+" },\n" for d in l)+"]\n"
print(f'[[day]]\nname = "fz-{seed}"\nlength_s = {float(L)}\n'+tl("plan",P)+tl("faults",F))
